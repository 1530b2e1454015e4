"""Session object required by the connections of the protocol library."""

from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables


class ProtocolSession(BaseSession):
    """Hold the connection's charset variables, user name and database.

    ``CallerConnection`` answers all statements itself and does not pass them on to
    this session.
    """

    def __init__(self) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None
