"""Runs the command line with `python -m harecross`."""

from harecross.cli import main

if __name__ == "__main__":
    main()
