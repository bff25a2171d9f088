package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.RecordBody.ConfigurationChanged;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which configuration is in force from the changes on the log.
 *
 * <p>A change is accepted if it names the revision at which its section was last changed; every
 * reader of the log comes to the same verdict. Accepted revisions only grow.
 *
 * <p>Life cycle: one per node, fed in log order. Not thread-safe; owned by the node's core.
 */
public final class ConfigurationLedger {

  private final Map<String, Section> sections = new TreeMap<>();
  private final Map<String, Revision> sectionRevisions = new TreeMap<>();
  private Configuration current = Configuration.EMPTY;

  private ConfigurationLedger() {}

  /** Returns an empty ledger. */
  public static ConfigurationLedger create() {
    return new ConfigurationLedger();
  }

  /**
   * Applies one change read from the log.
   *
   * @return whether the change was accepted
   */
  public boolean apply(ConfigurationChanged change) {
    Section section = change.section();
    Revision based = sectionRevisions.getOrDefault(section.name(), Revision.NONE);
    if (!based.equals(change.basedOn())) {
      return false;
    }
    Revision next = Revision.of(current.revision().value() + 1);
    sections.put(section.name(), section);
    sectionRevisions.put(section.name(), next);
    current = Configuration.merge(next, sections.values());
    return true;
  }

  // Accessors

  /** Returns the configuration in force. */
  public Configuration current() {
    return current;
  }
}
