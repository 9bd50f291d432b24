"""Measure how costs grow with the sizes of a fleet; see docs/CAPACITY.md.

Usage: capacity.py [--only NAME] [--output FILE]
"""

from siskinhold_trial.capacity import main

if __name__ == "__main__":
    main()
