package dev.wisteriarail.core.result;

/**
 * Numbered result codes of requests, platform calls, peers and the command line.
 *
 * <p>The numbers are stable and never reused, since they appear in responses, logs and
 * docs/ERRORS.md.
 */
public enum ResultCode {
  /** Success. */
  OK(0, 200, "success"),

  // Callers' requests.
  /** The request is malformed. */
  BAD_REQUEST(1001, 400, "the request is malformed"),
  /** The request body exceeds the size limit. */
  REQUEST_TOO_LARGE(1002, 413, "the request body exceeds the size limit"),
  /** The request body did not arrive in time. */
  REQUEST_TIMED_OUT_READING(1003, 408, "the request body did not arrive in time"),
  /** No such path. */
  NOT_FOUND(1004, 404, "no such path"),
  /** The path does not support this method. */
  METHOD_NOT_ALLOWED(1005, 405, "the path does not take this method"),
  /** The request header exceeds the size limit. */
  HEADERS_TOO_LARGE(1006, 431, "the request header exceeds the size limit"),
  /** The node reached its limit of open requests. */
  NODE_FULL(1007, 503, "the node holds as many open requests as it may"),
  /** The node holds too many bytes of requests and responses to take another request. */
  MEMORY_FULL(1008, 503, "the node holds as many bytes of requests and responses as it may"),
  /** The bearer token is missing or unknown. */
  UNAUTHENTICATED(1101, 401, "the bearer token is missing or unknown"),
  /** The model does not exist or belongs to another customer. */
  MODEL_UNKNOWN(1102, 404, "the model does not exist or belongs to another customer"),
  /** The adapter does not exist or belongs to another customer. */
  ADAPTER_UNKNOWN(1103, 404, "the adapter does not exist or belongs to another customer"),
  /** The kind of request is not configured. */
  KIND_UNKNOWN(1104, 400, "the kind of request is not configured"),
  /** The service does not exist. */
  SERVICE_UNKNOWN(1105, 404, "the service does not exist"),
  /** The API key is missing, unusable or held by no tenant. */
  API_KEY_INVALID(1106, 401, "the API key is missing or no tenant holds it"),
  /** The customer exceeds its request rate. */
  RATE_LIMITED(1201, 429, "the customer exceeds its request rate"),
  /** The customer's queue is full. */
  QUEUE_FULL(1202, 429, "the customer's queue is full"),
  /** The deadline cannot be met from the current load. */
  DEADLINE_UNREACHABLE(1203, 503, "the deadline cannot be met from the current load"),
  /** The deadline passed before the request was dispatched. */
  DEADLINE_PASSED(1204, 504, "the deadline passed before the request was dispatched"),
  /** No runner can hold the model. */
  NO_CAPACITY(1205, 503, "no runner can hold the model"),
  /** The log service is down and the request needs it. */
  LOG_UNAVAILABLE(1206, 503, "the log service is down and the request needs it"),
  /** The node is shutting down. */
  DRAINING(1207, 503, "the node is shutting down"),
  /** The request crashed several backend servers and is refused. */
  POISON_REQUEST(1208, 422, "the request crashed several backend servers"),
  /** No controller can decide on loading the model. */
  NO_CONTROLLER(1209, 503, "no controller can decide on loading the model"),
  /** Requests with this content, or with a part of this prompt, crash runners. */
  CRASHING_REQUEST(1211, 503, "runners crash on such requests"),
  /** The node failed to send the request to a runner. */
  SENDING_FAILED(1212, 503, "the node failed to send the request to a runner"),
  /** The tenant has used its allowance. */
  ALLOWANCE_USED(1214, 429, "the tenant has used its allowance"),
  /** The node has no configuration yet. */
  CONFIGURATION_UNKNOWN(1210, 503, "the node knows no configuration yet"),
  /** The node may have missed that API keys were removed. */
  CONFIGURATION_UNCONFIRMED(
      1213, 503, "the node cannot tell whether its configuration is the newest"),
  /** A request of this kind needs an Idempotency-Key header. */
  IDEMPOTENCY_KEY_MISSING(1301, 400, "requests of this kind need an Idempotency-Key"),
  /** The idempotency key was used with another request body. */
  IDEMPOTENCY_KEY_REUSED(1302, 422, "the idempotency key was used with another request body"),
  /** The idempotency key is older than the retention of the log. */
  IDEMPOTENCY_KEY_EXPIRED(1303, 409, "the idempotency key is older than the log keeps"),
  /** The request was sent to a backend server and its outcome is unknown. */
  OUTCOME_UNKNOWN(1304, 502, "the request was handed over and its outcome is not known"),
  /** Not all used idempotency keys are known to the node. */
  KEYS_INCOMPLETE(1310, 503, "not all used idempotency keys are known to the node"),
  /** The request ran, but its answer is not stored. */
  ANSWER_NOT_KEPT(1311, 409, "the request ran and its answer is not kept"),
  /** The backend server failed. */
  BACKEND_FAILED(1401, 502, "the backend server failed"),
  /** The backend server refused the request. */
  BACKEND_REFUSED(1402, 502, "the backend server refused the request"),
  /** The answer was ended before it was complete. */
  ANSWER_INCOMPLETE(1403, 502, "the answer was cut before its end"),

  // Platform and peers.
  /** The log service did not accept the record. */
  LOG_APPEND_FAILED(2001, 503, "the log service did not take the record"),
  /** The answer to an append was lost. */
  LOG_APPEND_UNKNOWN(2002, 503, "the answer to an append was lost"),
  /** The log service could not be read. */
  LOG_READ_FAILED(2003, 503, "the log service could not be read"),
  /** The log dropped records that had not been read. */
  LOG_RECORDS_DROPPED(2004, 503, "the log dropped records that had not been read"),
  /** The VM list could not be read. */
  VM_LIST_UNAVAILABLE(2005, 503, "the VM list could not be read"),
  /** The engine could not be reached. */
  ENGINE_UNREACHABLE(2101, 503, "the engine could not be reached"),
  /** The engine refused an order with an old fencing number. */
  ENGINE_ORDER_FENCED(2102, 409, "the engine refused an order with an old fencing number"),
  /** The engine could not carry out an order. */
  ENGINE_ORDER_FAILED(2103, 502, "the engine could not carry out an order"),
  /** The answer to an engine order was lost. */
  ENGINE_ORDER_UNKNOWN(2104, 502, "the answer to an engine order was lost"),
  /** A peer could not be reached. */
  PEER_UNREACHABLE(2201, 503, "a peer could not be reached"),
  /** A peer sent a frame that cannot be read. */
  PEER_FRAME_INVALID(2202, 400, "a peer sent a frame that cannot be read"),
  /** A peer has no valid certificate. */
  PEER_UNTRUSTED(2203, 403, "a peer has no valid certificate"),

  // Settings, answers and the command line.
  /** The command line is wrong. */
  USAGE(3001, 400, "the command line is wrong"),
  /** The settings are invalid. */
  SETTINGS_INVALID(3002, 400, "the settings are invalid"),
  /** A file cannot be read. */
  FILE_UNREADABLE(3003, 400, "a file cannot be read"),
  /** An address to listen on cannot be bound. */
  ADDRESS_UNAVAILABLE(3004, 400, "an address to listen on cannot be bound"),
  /** The process was asked to stop before its node had started. */
  START_CANCELLED(3005, 503, "the start was cancelled"),
  /** The answers are invalid. */
  ANSWERS_INVALID(3101, 400, "the answers are invalid"),
  /** The section changed since the revision that the change was based on. */
  REVISION_CONFLICT(
      3102, 409, "the section changed since the revision that the change was based on"),
  /** The answers are not valid TOML. */
  ANSWERS_SYNTAX(3110, 400, "the answers are not valid TOML"),
  /** An answer is missing or has a wrong value. */
  ANSWER_VALUE_INVALID(3111, 400, "an answer is missing or has a wrong value"),
  /** An answer's key is not known. */
  ANSWER_KEY_UNKNOWN(3112, 400, "an answer's key is not known"),
  /** An identifier is used twice. */
  IDENTIFIER_DUPLICATE(3113, 409, "an identifier is used twice"),
  /** An answer refers to something that no section describes. */
  REFERENCE_UNKNOWN(3114, 400, "an answer refers to something that no section describes"),
  /** A number is out of its bounds. */
  ANSWER_OUT_OF_BOUNDS(3115, 400, "a number is out of its bounds"),
  /** Two sections configure the deployment. */
  DEPLOYMENT_DUPLICATE(3116, 409, "two sections answer for the whole deployment"),
  /** An identifier has characters that are not allowed. */
  IDENTIFIER_INVALID(3117, 400, "an identifier has characters that are not allowed"),
  /** An answer is valid but probably not intended. */
  ANSWER_DOUBTFUL(3118, 200, "an answer is allowed but probably not meant"),
  /** It is unknown whether the change was published. */
  PUBLISH_UNKNOWN(3120, 503, "whether the change was published is not known"),
  /** The log does not contain the requested revision. */
  REVISION_UNKNOWN(3121, 404, "the log does not hold the revision that was asked for"),

  // Placement and replay.
  /** No placement policy has this name. */
  PLACEMENT_POLICY_UNKNOWN(3210, 400, "no placement policy has this name"),
  /** A line of a trace is malformed. */
  TRACE_LINE_INVALID(3211, 400, "a line of a trace is malformed"),
  /** A line of a trace names something that the deployment does not have. */
  TRACE_NAME_UNKNOWN(3212, 400, "a trace names something that the deployment does not have"),
  /** The lines of a trace are not in order of time. */
  TRACE_OUT_OF_ORDER(3213, 400, "the lines of a trace are not in order of time"),
  /** A line of a fault file is malformed. */
  FAULT_LINE_INVALID(3214, 400, "a line of a file of faults is malformed"),
  /** A plot or table cannot be written. */
  REPORT_UNWRITABLE(3215, 400, "a plot or table cannot be written"),

  // Internal.
  /** An internal error. */
  INTERNAL(9001, 500, "an internal error");

  private final int number;
  private final int httpStatus;
  private final String summary;

  ResultCode(int number, int httpStatus, String summary) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.summary = summary;
  }

  /** Returns the stable number. */
  public int number() {
    return number;
  }

  /** Returns the HTTP status of a response with this code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns a one-line description in English. */
  public String summary() {
    return summary;
  }

  /** Returns the text form, for example {@code WR-1201}. */
  public String label() {
    return "WR-" + number;
  }
}
