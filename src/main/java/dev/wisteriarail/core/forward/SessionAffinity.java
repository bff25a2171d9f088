package dev.wisteriarail.core.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers for a limited number of sessions which runner last read the prompt of the session.
 *
 * <p>Not thread-safe.
 */
public final class SessionAffinity {

  /**
   * Maximum number of remembered sessions, a few hundred bytes each; the least recently used one is
   * removed first.
   */
  private static final int MAX_SESSIONS = 4_096;

  private final Map<String, String> runners =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
          return size() > MAX_SESSIONS;
        }
      };

  private SessionAffinity() {}

  /** Creates an empty table. */
  public static SessionAffinity create() {
    return new SessionAffinity();
  }

  /** Records that a request of a session is sent to a runner. */
  public void assign(String model, String session, String runner) {
    runners.put(model + "/" + session, runner);
  }

  /** Returns the runner that got the last request of a session. */
  public Optional<String> runner(String model, String session) {
    return Optional.ofNullable(runners.get(model + "/" + session));
  }
}
