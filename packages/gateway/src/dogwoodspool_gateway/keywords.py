"""Keywords and functions of the SQL dialect used to classify statements."""

from typing import Final

READ_KEYWORDS: Final = frozenset(
    {"SELECT", "WITH", "SHOW", "DESC", "DESCRIBE", "EXPLAIN"}
)
# A statement with one of these keywords outside of strings is not a plain read.
WRITE_KEYWORDS: Final = frozenset(
    {"INTO", "FOR", "LOCK", "INSERT", "UPDATE", "DELETE", "REPLACE", "CALL", "ANALYZE"}
)
# Functions without side effects. Any other function may be a stored function that
# writes.
PURE_FUNCTIONS: Final = frozenset(
    """
    ABS ADDDATE ANY_VALUE ASCII AVG BIN BIT_AND BIT_OR BIT_XOR CAST CEIL CEILING
    CHAR CHAR_LENGTH CHARACTER_LENGTH COALESCE CONCAT CONCAT_WS CONV CONVERT COUNT
    CRC32 CURDATE CURRENT_DATE CURRENT_TIME CURRENT_TIMESTAMP CURTIME DATE DATE_ADD
    DATE_FORMAT DATE_SUB DATEDIFF DAY DAYNAME DAYOFMONTH DAYOFWEEK DAYOFYEAR
    DENSE_RANK ELT EXP EXTRACT FIELD FIND_IN_SET FIRST_VALUE FLOOR FORMAT
    FROM_UNIXTIME GREATEST GROUP_CONCAT HEX HOUR IF IFNULL INSTR ISNULL JSON_ARRAY
    JSON_ARRAYAGG JSON_CONTAINS JSON_EXTRACT JSON_LENGTH JSON_OBJECT JSON_UNQUOTE
    JSON_VALUE LAG LAST_VALUE LCASE LEAD LEAST LEFT LENGTH LN LOCATE LOG LOG10 LOG2
    LOWER LPAD LTRIM MAX MD5 MICROSECOND MID MIN MINUTE MOD MONTH MONTHNAME NOW
    NTILE NULLIF OCT OCTET_LENGTH ORD PERCENT_RANK PI POSITION POW POWER QUARTER
    RANK REGEXP_LIKE REPEAT REVERSE RIGHT ROUND ROW_NUMBER RPAD RTRIM SECOND SHA1
    SHA2 SIGN SPACE SQRT STD STDDEV STR_TO_DATE SUBDATE SUBSTR SUBSTRING
    SUBSTRING_INDEX SUM TIME TIMEDIFF TIMESTAMP TIMESTAMPDIFF TO_DAYS TRIM TRUNCATE
    UCASE UNHEX UNIX_TIMESTAMP UPPER UTC_TIMESTAMP UUID VARIANCE VERSION WEEK
    WEEKDAY YEAR ZEROBLOB
    """.split()  # noqa: SIM905 - a word list reads better as text.
)
# Keywords that may precede a parenthesis without being a function name.
NON_FUNCTION_KEYWORDS: Final = frozenset(
    """
    ALL AND ANY AS BETWEEN BY CASE DISTINCT ELSE EXCEPT EXISTS FROM HAVING IN
    INTERSECT IS JOIN LIKE NOT OFFSET ON OR OVER PARTITION REGEXP RLIKE SELECT SOME
    THEN UNION USING VALUES WHEN WHERE WITH XOR DIV INTERVAL LIMIT RECURSIVE
    """.split()  # noqa: SIM905 - a word list reads better as text.
)
# Session variables that drivers set on connect. The proxy ignores the new values,
# since the defaults are sufficient.
IGNORED_VARIABLES: Final = frozenset(
    {
        "names",
        "character",
        "charset",
        "sql_mode",
        "time_zone",
        "wait_timeout",
        "interactive_timeout",
        "net_read_timeout",
        "net_write_timeout",
        "sql_auto_is_null",
        "sql_notes",
        "sql_quote_show_create",
        "sql_safe_updates",
        "sql_select_limit",
        "foreign_key_checks",
        "unique_checks",
        "character_set_client",
        "character_set_connection",
        "character_set_results",
        "collation_connection",
        "max_execution_time",
        "transaction",
    }
)
# Statements that commit implicitly and cannot be rolled back.
DDL_KEYWORDS: Final = frozenset({"CREATE", "ALTER", "DROP", "TRUNCATE", "RENAME"})
UNSUPPORTED_KEYWORDS: Final = frozenset(
    {
        "LOCK",
        "UNLOCK",
        "HANDLER",
        "PREPARE",
        "DEALLOCATE",
        "XA",
        "KILL",
        "LOAD",
        "FLUSH",
    }
)
UNSUPPORTED_FUNCTIONS: Final = frozenset(
    {
        "GET_LOCK",
        "RELEASE_LOCK",
        "RELEASE_ALL_LOCKS",
        "IS_FREE_LOCK",
        "IS_USED_LOCK",
        "FOUND_ROWS",
        "ROW_COUNT",
    }
)
TRUE_VALUES: Final = frozenset({"1", "ON", "TRUE"})
FALSE_VALUES: Final = frozenset({"0", "OFF", "FALSE"})
