"""Start an entry daemon with `python -m banyanseam.entry`."""

from banyanseam.entry.main import main

main()
