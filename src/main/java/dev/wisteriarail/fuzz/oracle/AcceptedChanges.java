package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Determines which published configuration changes nodes must accept: those that name the revision
 * at which their section last changed. Not thread-safe.
 */
public final class AcceptedChanges {

  private final Map<String, Long> sections = new TreeMap<>();
  private final Set<RecordId> seen = new TreeSet<>();
  private long newest;

  /** Returns the revision that the next change of a section must name. */
  public Revision basis(String section) {
    return Revision.of(sections.getOrDefault(section, 0L));
  }

  /** Returns the newest accepted revision. */
  public long newest() {
    return newest;
  }

  /**
   * Processes the next record of the log.
   *
   * @return whether it is a change that nodes must accept
   */
  public boolean accept(LogRecord logged) {
    if (!seen.add(logged.id())
        || !(logged.body() instanceof RecordBody.ConfigurationChanged change)) {
      return false;
    }
    String section = change.section().name();
    if (change.basedOn().value() != sections.getOrDefault(section, 0L)) {
      return false;
    }
    newest++;
    sections.put(section, newest);
    return true;
  }
}
