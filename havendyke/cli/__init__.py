"""Sub-commands for operators, one file each; each imports what it needs when it is called."""
