"""The bench's wire, and nothing else: no decision is taken here."""
