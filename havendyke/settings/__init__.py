"""The operator's own file: grammar, schema, checks. Imported only where such a file is named."""
