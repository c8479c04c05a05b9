"""Names of the platform's protocols: headers, statuses, paths and topics."""

SETTINGS_VARIABLE = "ANVILTRAY_SETTINGS"  # Environment variable with the path of the settings file.

# Request and response headers.
REQUEST_ID_HEADER = "Request-Id"
DEADLINE_HEADER = "Deadline-Ms"
EXPECTED_INSTANCE_HEADER = "Expect-Instance"
NOT_EXECUTED_HEADER = "Not-Executed"
ACCOUNT_HEADER = "Tenant"  # Name of the client account; set by the host, whatever the caller sent.
SEAL_HEADER = "Response-Seal"  # Proves that the response comes from the instance.
# Requests per second that the instance takes from all hosts together; in responses while it lasts.
LIMIT_HEADER = "Server-Limit"
# "1" in all responses of an instance that is about to end.
LEAVING_HEADER = "Server-Leaving"
# Seconds for which an instance that rejects a request wants no other one from the same host.
RETRY_AFTER_HEADER = "Retry-After"

# Statuses with which an instance refuses a request unexecuted, if NOT_EXECUTED_HEADER is present.
REFUSAL_STATUSES = (400, 408, 421, 429, 503)

# Statuses with which a host promises its caller that the request has not run and never will. The
# same status of an instance says so only with NOT_EXECUTED_HEADER.
PROMISE_STATUSES = (408, 421, 429, 503)

# Paths that the edge hosts serve.
READY_PATH = "/v1/ready"
RESOLVE_PATH = "/v1/resolve"

# Header of all responses of the store: how often it has come back from a copy.
GENERATION_HEADER = "Store-Era"

# Paths of the store.
APPEND_PATH = "/v1/log-append"
READ_PATH = "/v1/log-read"
NEWEST_PATH = "/v1/log-newest"

# Topics of the store; each has one partition.
OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
INSTANCE_TOPIC = "keyed.servers"
HOST_TOPIC = "keyed.anviltray-hosts"
