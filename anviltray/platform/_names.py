"""Names that the platform uses on the wire, in one place."""

SETTINGS_VARIABLE = "ANVILTRAY_SETTINGS"  # Holds the path of the settings file.

# Headers of requests and responses.
REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Ms"
EXPECTED_INSTANCE = "Expect-Instance"
NOT_RUN = "Not-Executed"
SEAL = "Response-Seal"  # Proves that the response comes from the instance.

# Statuses by which an instance with the NOT_RUN header refuses a request before it runs.
REFUSAL_STATUSES = (400, 429, 503)

# Paths of the interfaces that the fleet offers.
READY_PATH = "/v1/ready"
RESOLVE_PATH = "/v1/resolve"

# Calls of the store.
APPEND_PATH = "/v1/log-append"
READ_PATH = "/v1/log-read"
NEWEST_PATH = "/v1/log-newest"

# Topics of the store; each has one partition.
OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
INSTANCE_TOPIC = "keyed.servers"
HOST_TOPIC = "keyed.anviltray-hosts"
