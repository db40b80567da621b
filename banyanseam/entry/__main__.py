"""Start the entry daemon: `python -m banyanseam.entry`."""

from banyanseam.entry.signals import ignore_settings_changes


def start() -> None:
    """Run the daemon's command."""
    ignore_settings_changes()
    # Importing the daemon takes most of the start, in which signals may arrive.
    from banyanseam.entry.main import main

    main()


if __name__ == "__main__":
    start()
