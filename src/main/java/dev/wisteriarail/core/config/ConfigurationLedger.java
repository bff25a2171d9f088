package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.RecordBody.ConfigurationChanged;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.state.Ledger;
import dev.wisteriarail.core.state.LedgerSnapshot;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides which configuration is in force from the changes on the log.
 *
 * <p>A change is accepted if it names the revision at which its section was last changed, and if
 * the sections in force are valid together with it. Every reader of the log comes to the same
 * verdict, so a revision stands for the same content on every node. Accepted revisions only grow.
 *
 * <p>Life cycle: one per node, fed in log order. Not thread-safe; owned by the node's core.
 */
public final class ConfigurationLedger implements Ledger {

  private final Map<String, Section> sections = new TreeMap<>();
  private final Map<String, Revision> sectionRevisions = new TreeMap<>();
  private Configuration current = Configuration.EMPTY;
  private long through = -1;

  private ConfigurationLedger() {}

  /** Returns an empty ledger. */
  public static ConfigurationLedger create() {
    return new ConfigurationLedger();
  }

  // Updates

  /**
   * Applies one change read from the log.
   *
   * @param offset its position
   */
  public ConfigurationVerdict apply(ConfigurationChanged change, long offset) {
    if (offset <= through) {
      return new ConfigurationVerdict.Covered();
    }
    through = offset;
    Section section = change.section();
    Revision based = sectionRevision(section.name());
    if (!based.equals(change.basedOn())) {
      return new ConfigurationVerdict.Rejected(
          ResultCode.REVISION_CONFLICT,
          "section " + section.name() + " is at revision " + based + ", not " + change.basedOn());
    }
    List<SectionProblem> problems = SectionValidator.check(sections, section);
    if (!problems.isEmpty()) {
      SectionProblem first = problems.getFirst();
      return new ConfigurationVerdict.Rejected(first.code(), first.describe());
    }
    Revision next = Revision.of(current.revision().value() + 1);
    sections.put(section.name(), section);
    sectionRevisions.put(section.name(), next);
    current = Configuration.merge(next, sections.values());
    return new ConfigurationVerdict.Accepted(next);
  }

  // Snapshots

  @Override
  public List<LedgerSnapshot> snapshot() {
    List<LedgerSnapshot> parts = new ArrayList<>();
    parts.add(new LedgerSnapshot.ConfigurationPart(current.revision(), through));
    sections.forEach(
        (name, section) ->
            parts.add(new LedgerSnapshot.SectionPart(section, sectionRevisions.get(name))));
    return parts;
  }

  /** Restores a snapshot unless it is older than what is in force. */
  @Override
  public void restore(List<LedgerSnapshot> parts, long snapshotThrough) {
    Optional<LedgerSnapshot.ConfigurationPart> head = headOf(parts);
    Revision revision = head.map(LedgerSnapshot.ConfigurationPart::revision).orElse(Revision.NONE);
    if (head.isEmpty() || revision.compareTo(current.revision()) < 0) {
      return;
    }
    sections.clear();
    sectionRevisions.clear();
    for (LedgerSnapshot part : parts) {
      if (part instanceof LedgerSnapshot.SectionPart held) {
        sections.put(held.section().name(), held.section());
        sectionRevisions.put(held.section().name(), held.revision());
      }
    }
    through = Math.max(through, head.get().through());
    current = Configuration.merge(revision, sections.values());
  }

  private static Optional<LedgerSnapshot.ConfigurationPart> headOf(List<LedgerSnapshot> parts) {
    return parts.stream()
        .filter(LedgerSnapshot.ConfigurationPart.class::isInstance)
        .map(LedgerSnapshot.ConfigurationPart.class::cast)
        .findFirst();
  }

  // Accessors

  /** Returns the configuration in force. */
  public Configuration current() {
    return current;
  }

  /** Returns the sections in force by name. */
  public Map<String, Section> sections() {
    return Collections.unmodifiableMap(sections);
  }

  /** Returns the revision at which a section last changed. */
  public Revision sectionRevision(String name) {
    return sectionRevisions.getOrDefault(name, Revision.NONE);
  }

  /** Returns the offset up to which changes are decided. */
  public long through() {
    return through;
  }
}
