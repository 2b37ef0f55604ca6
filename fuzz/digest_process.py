"""The second process of the target `same`: reads an input per line, prints the digest of its
orders."""

import sys

from .targets.core import digest_of


def main():
    for line in sys.stdin:
        try:
            print(digest_of(bytes.fromhex(line.strip())), flush=True)
        except Exception as error:  # the calling process reports the same failure
            print(f"failed: {type(error).__name__}", flush=True)


if __name__ == "__main__":
    main()
