"""The operator's file.

`grammar` parses its lines, `schema` defines its keys and `values` their types, `reader` reads it
and `page` generates its documentation. The package is imported only if a file is specified.
"""
