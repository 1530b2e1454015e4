"""Run one backend server of a stand-in database group."""
