package dev.wisteriarail.core.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which runner last read the prompt of a session, up to a bound.
 *
 * <p>Not thread-safe.
 */
public final class SessionAffinity {

  /** Sessions remembered; the least recently used is forgotten first. A few hundred bytes each. */
  private static final int MAX_SESSIONS = 4_096;

  private final Map<String, String> runners =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
          return size() > MAX_SESSIONS;
        }
      };

  private SessionAffinity() {}

  /** Returns a trail without sessions. */
  public static SessionAffinity create() {
    return new SessionAffinity();
  }

  /** Notes that a runner gets a request of a session. */
  public void assign(String model, String session, String runner) {
    runners.put(model + "/" + session, runner);
  }

  /** Returns the runner that got the session's last request. */
  public Optional<String> runner(String model, String session) {
    return Optional.ofNullable(runners.get(model + "/" + session));
  }
}
