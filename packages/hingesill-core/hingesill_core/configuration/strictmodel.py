"""Base class of the models of declarations."""

from pydantic import BaseModel, ConfigDict

__all__ = ["StrictModel"]


class StrictModel(BaseModel):
    """A model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)
