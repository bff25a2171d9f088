package dev.wisteriarail.core.event;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One occurrence of a numbered event.
 *
 * @param code the event
 * @param fields names and values that describe the occurrence, in the order in which they are
 *     written
 */
public record NodeEvent(EventCode code, Map<String, String> fields) {

  /** Creates an event with fields given as alternating names and values. */
  public static NodeEvent of(EventCode code, Object... namesAndValues) {
    Map<String, String> fields = new LinkedHashMap<>();
    for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
      fields.put(String.valueOf(namesAndValues[i]), String.valueOf(namesAndValues[i + 1]));
    }
    return new NodeEvent(code, Collections.unmodifiableMap(fields));
  }
}
