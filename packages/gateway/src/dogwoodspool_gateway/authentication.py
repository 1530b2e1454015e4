"""Names and passwords of callers."""

from typing import Final

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User

from .models import SessionFactory

# No password is known to have this hash; an empty one would admit anybody.
NO_PASSWORD_HASH: Final = "00" * 20


class CallerIdentities(IdentityProvider):
    """Look callers up in the settings in force."""

    def __init__(self, sessions: SessionFactory) -> None:
        self._sessions = sessions

    async def get_user(self, username: str) -> User:
        """Return the caller's entry.

        An unknown name gets an entry that no password opens, so that the answer
        does not tell which names exist.
        """
        password_hash = self._sessions.password_hash(username) or NO_PASSWORD_HASH
        return User(
            name=username,
            auth_string=password_hash,
            auth_plugin=NativePasswordAuthPlugin.name,
        )


def hash_password(password: str) -> str:
    """Return the hash of a password as the settings hold it."""
    return NativePasswordAuthPlugin.create_auth_string(password)
