"""Authentication of callers by name and password."""

from typing import Final

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User

from .models import SessionFactory

# No known password has this hash. An empty hash would admit callers without a
# password.
INVALID_PASSWORD_HASH: Final = "00" * 20


class CallerIdentities(IdentityProvider):
    """Look up callers in the current settings."""

    def __init__(self, sessions: SessionFactory) -> None:
        self._sessions = sessions

    async def get_user(self, username: str) -> User:
        """Return the user record of a caller.

        An unknown name gets a record that no password matches, so that the response
        does not reveal which names exist.
        """
        password_hash = self._sessions.password_hash(username) or INVALID_PASSWORD_HASH
        return User(
            name=username,
            auth_string=password_hash,
            auth_plugin=NativePasswordAuthPlugin.name,
        )


def hash_password(password: str) -> str:
    """Return the hash of a password in the format stored in the settings."""
    return NativePasswordAuthPlugin.create_auth_string(password)
