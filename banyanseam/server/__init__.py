"""The HTTP border towards callers and operators."""
