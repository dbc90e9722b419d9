"""Spread of the published object set among hosts."""


class ConfigSpread:
    """Own the accepted generation and how it is confirmed."""

    __slots__ = ("confirmed_", "generation_")

    def __init__(self) -> None:
        self.generation_ = 0
        self.confirmed_ = False
