package dev.wisteriarail.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.PromptPart;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.core.tenant.ApiKeyDigest;
import dev.wisteriarail.gateway.CallerProtocol;
import dev.wisteriarail.gateway.RequestException;
import java.math.BigInteger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;

/**
 * The platform's HTTP conventions for callers and the load balancer: parses request headers and
 * builds the headers of refusals. Stateless.
 */
public final class CallerHeaders implements CallerProtocol {

  /** Longest time that a caller is believed to wait; above all timeouts of routes. */
  private static final Duration MAX_CALLER_TIMEOUT = Duration.ofDays(1);

  /** Credentials with a key; the name of the scheme is case-insensitive. */
  private static final Pattern BEARER =
      Pattern.compile("Bearer +(\\S.*)", Pattern.CASE_INSENSITIVE);

  private CallerHeaders() {}

  /** Returns the protocol. */
  public static CallerHeaders create() {
    return new CallerHeaders();
  }

  @Override
  public String readinessPath() {
    return WireNames.READINESS_PATH;
  }

  @Override
  public ForwardRequest parseRequest(long exchange, Request request, byte[] body)
      throws WisteriarailException {
    HttpFields headers = request.getHeaders();
    String id = headers.get(WireNames.REQUEST_ID);
    if (id == null || id.isBlank()) {
      throw malformed(WireNames.REQUEST_ID, "is missing");
    }
    Optional<String> target = Optional.ofNullable(headers.get(WireNames.MODEL));
    int[] estimates = tokenEstimates(headers.get(WireNames.TOKENS));
    return new ForwardRequest(
        exchange,
        id,
        Optional.ofNullable(request.getHttpURI().getHost()).orElse(""),
        request.getHttpURI().getPath(),
        callerTimeout(headers.get(WireNames.DEADLINE)),
        target.map(CallerHeaders::modelName),
        target.flatMap(CallerHeaders::adapterName),
        headers.get(WireNames.TOKENS) != null,
        estimates[0],
        estimates[1],
        promptParts(headers.get(WireNames.PROMPT_PARTS)),
        fingerprint(request, body),
        credentials(headers),
        apiKey(headers));
  }

  @Override
  public String requestId(Request request) {
    return Optional.ofNullable(request.getHeaders().get(WireNames.REQUEST_ID)).orElse("");
  }

  private static Optional<Duration> callerTimeout(String value) throws RequestException {
    if (value == null) {
      return Optional.empty();
    }
    try {
      BigInteger millis = new BigInteger(value.trim());
      if (millis.signum() < 0) {
        throw malformed(WireNames.DEADLINE, "is negative");
      }
      BigInteger longest = BigInteger.valueOf(MAX_CALLER_TIMEOUT.toMillis());
      return Optional.of(Duration.ofMillis(millis.min(longest).longValue()));
    } catch (NumberFormatException notNumber) {
      throw malformed(WireNames.DEADLINE, "is not a whole number");
    }
  }

  /** The header names a model, optionally followed by a slash and an adapter. */
  private static String modelName(String target) {
    int slash = target.indexOf('/');
    return slash < 0 ? target : target.substring(0, slash);
  }

  private static Optional<String> adapterName(String target) {
    int slash = target.indexOf('/');
    return slash < 0 ? Optional.empty() : Optional.of(target.substring(slash + 1));
  }

  /**
   * Returns the number of prompt tokens and the maximum number of response tokens. They are used
   * for estimates only, so missing or malformed values count as 0.
   */
  private static int[] tokenEstimates(String value) {
    int[] tokens = new int[2];
    if (value != null) {
      String[] numbers = value.split(",", -1);
      for (int i = 0; i < Math.min(2, numbers.length); i++) {
        tokens[i] = estimate(numbers[i]);
      }
    }
    return tokens;
  }

  private static List<PromptPart> promptParts(String value) {
    List<PromptPart> parts = new ArrayList<>();
    if (value != null) {
      for (String part : value.split(",", -1)) {
        int colon = part.indexOf(':');
        if (colon > 0) {
          parts.add(
              new PromptPart(part.substring(0, colon).trim(), estimate(part.substring(colon + 1))));
        }
      }
    }
    return parts;
  }

  /** Parses a token count; a malformed or negative one counts as 0. */
  private static int estimate(String text) {
    try {
      return Math.max(0, Integer.parseInt(text.trim()));
    } catch (NumberFormatException malformed) {
      return 0;
    }
  }

  /** Combines checksums of method and target (upper half) and of the body (lower half). */
  private static long fingerprint(Request request, byte[] body) {
    CRC32C head = new CRC32C();
    head.update(request.getMethod().getBytes(UTF_8));
    head.update(request.getHttpURI().getPathQuery().getBytes(UTF_8));
    CRC32C content = new CRC32C();
    content.update(body);
    return (head.getValue() << 32) | content.getValue();
  }

  /**
   * Returns a checksum of the headers that tell a runner who the caller is, where tenants do not
   * replace them; 0 without any.
   */
  private static long credentials(HttpFields headers) {
    CRC32C checksum = new CRC32C();
    for (HttpField field : headers) {
      if (WireNames.isCallerHeader(field.getName())) {
        checksum.update(field.getLowerCaseName().getBytes(UTF_8));
        checksum.update(String.valueOf(field.getValue()).getBytes(UTF_8));
      }
    }
    return checksum.getValue();
  }

  /**
   * Returns the digest of the key in {@code Authorization: Bearer KEY}. Two such headers give no
   * key, since they may name two tenants.
   */
  private static Optional<ApiKeyDigest> apiKey(HttpFields headers) {
    List<String> credentials = headers.getValuesList(HttpHeader.AUTHORIZATION);
    if (credentials.size() != 1) {
      return Optional.empty();
    }
    Matcher bearer = BEARER.matcher(credentials.getFirst());
    return bearer.matches() ? Optional.of(ApiKeyDigest.of(bearer.group(1))) : Optional.empty();
  }

  private static RequestException malformed(String header, String problem) {
    return new RequestException(ResultCode.BAD_REQUEST, header, problem);
  }

  @Override
  public HttpFields refusalHeaders(
      Request request, ResultCode code, Optional<Duration> retryAfter) {
    HttpFields.Mutable headers = HttpFields.build();
    String id = request.getHeaders().get(WireNames.REQUEST_ID);
    if (id != null) {
      headers.put(WireNames.REQUEST_ID, id);
    }
    headers.put("X-Result-Code", code.label());
    if (code == ResultCode.API_KEY_INVALID) {
      headers.put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
    }
    retryAfter.ifPresent(
        time ->
            headers.put(
                HttpHeader.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", time.toMillis() / 1000.0)));
    return headers;
  }
}
