"""Run the control group: state, grants, failure detection, promotion."""
