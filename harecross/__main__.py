"""`python -m harecross`: the command line."""

from harecross.cli import main

if __name__ == "__main__":
    main()
