"""The gateway library's session object: only what its connection asks for."""

from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables


class ProtocolSession(BaseSession):
    """Hold the connection's charset variables, name and database.

    Statements never reach it: ``CallerConnection`` answers them itself.
    """

    def __init__(self) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None
