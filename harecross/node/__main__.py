"""`python -m harecross.node`: listens, then loads the program."""

import sys

from harecross.node import early

early.listen()

from harecross.node.process import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
