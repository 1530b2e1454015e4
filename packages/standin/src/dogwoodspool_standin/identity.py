"""Users and session state in the form that mysql-mimic expects."""

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables


class MimicSession(BaseSession):
    """Session state that mysql-mimic expects; ``CallerSession`` runs the statements."""

    def __init__(self) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None


class Users(IdentityProvider):
    """Names and passwords of the callers and of replicas."""

    def __init__(self, passwords: dict[str, str]) -> None:
        self._users = {
            name: User(
                name=name,
                auth_plugin=NativePasswordAuthPlugin.name,
                auth_string=(
                    NativePasswordAuthPlugin.create_auth_string(password)
                    if password
                    else None
                ),
            )
            for name, password in passwords.items()
        }

    async def get_user(self, username: str) -> User | None:
        """Return the user with a name, or None if there is no such user."""
        return self._users.get(username)
