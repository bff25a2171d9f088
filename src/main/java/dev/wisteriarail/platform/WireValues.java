package dev.wisteriarail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reads values of the platform's JSON documents. Values of other writers are checked and rejected;
 * values of the operators are limited to a range in which the core can compute. Stateless.
 */
final class WireValues {

  /** Longest name of a service, zone, model or adapter, in characters. */
  private static final int MAX_NAME_LENGTH = 1024;

  /** Largest number of elements of a list of names. */
  private static final int MAX_NAMES = 4096;

  /** Longest time that the operators can configure. */
  private static final Duration MAX_DURATION = Duration.ofDays(1);

  /** Limit of amounts, such as sizes in MB. */
  private static final double MAX_AMOUNT = 1e12;

  private static final int MAX_PORT = 65_535;

  private static final Pattern IPV4 = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}");
  private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");
  private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");
  private static final Pattern IDENTIFIER = Pattern.compile("[\\x21-\\x7e]{1,255}");

  private WireValues() {}

  // Values of other writers

  /** Returns the text if it can be sent in a header as an identifier. */
  static String identifier(String text) throws IOException {
    if (!IDENTIFIER.matcher(text).matches()) {
      throw new IOException("the identifier has other characters than visible ASCII");
    }
    return text;
  }

  /** Returns a required name. */
  static String name(JsonNode parent, String field) throws IOException {
    return checkedName(parent.path(field), "'" + field + "'");
  }

  private static String checkedName(JsonNode value, String what) throws IOException {
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw new IOException(what + " is not a name");
    }
    if (value.textValue().length() > MAX_NAME_LENGTH) {
      throw new IOException(what + " is too long");
    }
    return value.textValue();
  }

  /** Returns a list of names without repetitions; empty if the field is missing. */
  static Set<String> names(JsonNode parent, String field) throws IOException {
    Set<String> names = new LinkedHashSet<>();
    for (JsonNode value : elements(parent, field)) {
      names.add(checkedName(value, "an element of '" + field + "'"));
    }
    return names;
  }

  /** Returns the names in a list; what is no list or no name is left out. */
  static Set<String> namesAmong(JsonNode list) {
    Set<String> names = new LinkedHashSet<>();
    for (JsonNode value : list) {
      boolean isName = value.isTextual() && value.textValue().length() <= MAX_NAME_LENGTH;
      if (isName && names.size() < MAX_NAMES) {
        names.add(value.textValue());
      }
    }
    return names;
  }

  /** Returns the elements of a list of limited length; empty if the field is missing. */
  static List<JsonNode> elements(JsonNode parent, String field) throws IOException {
    JsonNode list = parent.path(field);
    if (isMissing(list)) {
      return List.of();
    }
    if (!list.isArray() || list.size() > MAX_NAMES) {
      throw new IOException("'" + field + "' is not a list of at most " + MAX_NAMES + " elements");
    }
    List<JsonNode> elements = new ArrayList<>();
    list.forEach(elements::add);
    return elements;
  }

  /** Returns a whole number from 0 to a maximum; 0 if the field is missing. */
  static long count(JsonNode parent, String field, long max) throws IOException {
    JsonNode value = parent.path(field);
    if (isMissing(value)) {
      return 0;
    }
    boolean valid =
        value.isIntegralNumber()
            && value.canConvertToLong()
            && value.longValue() >= 0
            && value.longValue() <= max;
    if (!valid) {
      throw new IOException("'" + field + "' is not a whole number from 0 to " + max);
    }
    return value.longValue();
  }

  /** Returns a truth value; false if the field is missing. */
  static boolean flag(JsonNode parent, String field) throws IOException {
    JsonNode value = parent.path(field);
    if (!isMissing(value) && !value.isBoolean()) {
      throw new IOException("'" + field + "' is not a truth value");
    }
    return value.asBoolean();
  }

  /** Returns the host of an address: an IPv4 address, or an IPv6 address in brackets. */
  static String host(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    String host = colon < 0 ? "" : address.substring(0, colon);
    boolean bracketed = host.startsWith("[") && host.endsWith("]");
    String literal = bracketed ? host.substring(1, host.length() - 1) : host;
    if (!(bracketed ? IPV6 : IPV4).matcher(literal).matches()) {
      throw new IOException("the host is not an IP address");
    }
    try {
      InetAddress parsed = InetAddress.ofLiteral(literal);
      if (parsed.isAnyLocalAddress() || parsed.isMulticastAddress()) {
        throw new IOException("the IP address is not that of a host");
      }
      return host;
    } catch (IllegalArgumentException malformed) {
      throw new IOException("the host is not an IP address", malformed);
    }
  }

  /** Returns the port of an address. */
  static int port(String address) throws IOException {
    String text = address.substring(address.lastIndexOf(':') + 1);
    return port(PORT.matcher(text).matches() ? Integer.parseInt(text) : 0);
  }

  /** Returns the port if connections can be made to it. */
  static int port(int number) throws IOException {
    if (number < 1 || number > MAX_PORT) {
      throw new IOException("the port is not a number from 1 to " + MAX_PORT);
    }
    return number;
  }

  /** Returns whether a field is absent or null. */
  static boolean isMissing(JsonNode value) {
    return value.isMissingNode() || value.isNull();
  }

  // Values of the operators

  /** Returns a list; empty if the field is missing. */
  static JsonNode list(JsonNode parent, String field) throws IOException {
    JsonNode list = parent.path(field);
    if (!isMissing(list) && !list.isArray()) {
      throw new IOException("'" + field + "' is not a list");
    }
    return list;
  }

  /** Returns a whole number, limited to a range; a default if the field holds no number. */
  static long limited(JsonNode value, long defaultValue, long min, long max) {
    if (!value.isNumber()) {
      return defaultValue;
    }
    if (value.isIntegralNumber() && value.canConvertToLong()) {
      return Math.clamp(value.longValue(), min, max);
    }
    return Math.clamp(Math.round(value.doubleValue()), min, max);
  }

  /** Returns a whole number that is not negative, limited to the range of an {@code int}. */
  static int limitedInt(JsonNode value, int min, int max) {
    return (int) limited(value, min, min, max);
  }

  /** Returns an amount that is neither negative nor infinite. */
  static double amount(JsonNode value) {
    double number = value.asDouble();
    return number > 0 ? Math.min(number, MAX_AMOUNT) : 0;
  }

  /** Returns a number of milliseconds as a time, limited to the longest time. */
  static Duration millis(JsonNode value) {
    return Duration.ofMillis(limited(value, 0, 0, MAX_DURATION.toMillis()));
  }

  /** Returns a number of seconds as a time, limited to the longest time. */
  static Duration seconds(JsonNode value) {
    double seconds = Math.min(amount(value), (double) MAX_DURATION.toSeconds());
    return Duration.ofMillis(Math.round(seconds * 1000));
  }

  /** Returns a positive number of milliseconds as a time; a default otherwise. */
  static Duration millisOr(JsonNode value, Duration defaultValue) {
    Duration time = millis(value);
    return time.isPositive() ? time : defaultValue;
  }

  /** Returns a positive whole number up to a maximum; a default otherwise. */
  static long positiveOr(JsonNode value, long defaultValue, long max) {
    long number = limited(value, defaultValue, 0, max);
    return number > 0 ? number : defaultValue;
  }
}
