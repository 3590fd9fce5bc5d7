"""Development tools, which are no part of the installed product."""
