"""One module for one kind of input; each registers its targets when it is imported."""
