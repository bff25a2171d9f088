package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.RecordBody.ConfigurationChanged;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.state.ReplicatedState;
import dev.wisteriarail.core.state.SnapshotPart;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The configuration derived from the configuration changes in the log.
 *
 * <p>A change is accepted if it is based on the revision at which its section last changed
 * (optimistic concurrency control), and if the resulting set of sections is valid. Every reader of
 * the log reaches the same outcome, so a revision has the same content on every node. Accepted
 * revisions only increase.
 *
 * <p>Life cycle: one per node; changes are applied in log order. Not thread-safe; owned by the
 * node's core.
 */
public final class ConfigurationState implements ReplicatedState {

  private final Map<String, Section> sections = new TreeMap<>();
  private final Map<String, Revision> sectionRevisions = new TreeMap<>();
  private Configuration current = Configuration.EMPTY;
  private long through = -1;

  private ConfigurationState() {}

  /** Creates a state without any section. */
  public static ConfigurationState create() {
    return new ConfigurationState();
  }

  // Updates

  /**
   * Applies a change read from the log.
   *
   * @param offset the change's offset in the log
   */
  public ChangeOutcome apply(ConfigurationChanged change, long offset) {
    if (offset <= through) {
      return new ChangeOutcome.CoveredBySnapshot();
    }
    through = offset;
    Section section = change.section();
    Revision sectionRevision = sectionRevision(section.name());
    if (!sectionRevision.equals(change.basedOn())) {
      return new ChangeOutcome.Rejected(
          ResultCode.REVISION_CONFLICT,
          "section "
              + section.name()
              + " is at revision "
              + sectionRevision
              + ", not "
              + change.basedOn());
    }
    List<SectionProblem> problems = SectionValidator.check(sections, section);
    if (!problems.isEmpty()) {
      SectionProblem first = problems.getFirst();
      return new ChangeOutcome.Rejected(first.code(), first.describe());
    }
    Revision next = Revision.of(current.revision().value() + 1);
    sections.put(section.name(), section);
    sectionRevisions.put(section.name(), next);
    current = Configuration.merge(next, sections.values());
    return new ChangeOutcome.Accepted(next);
  }

  // Snapshots

  @Override
  public List<SnapshotPart> snapshot() {
    List<SnapshotPart> parts = new ArrayList<>();
    parts.add(new SnapshotPart.ConfigurationPart(current.revision(), through));
    sections.forEach(
        (name, section) ->
            parts.add(new SnapshotPart.SectionPart(section, sectionRevisions.get(name))));
    return parts;
  }

  /** Restores a snapshot, unless it is older than the configuration in force. */
  @Override
  public void restore(List<SnapshotPart> parts, long snapshotThrough) {
    Optional<SnapshotPart.ConfigurationPart> configurationPart = findConfigurationPart(parts);
    Revision revision =
        configurationPart.map(SnapshotPart.ConfigurationPart::revision).orElse(Revision.NONE);
    if (configurationPart.isEmpty() || revision.compareTo(current.revision()) < 0) {
      return;
    }
    sections.clear();
    sectionRevisions.clear();
    for (SnapshotPart part : parts) {
      if (part instanceof SnapshotPart.SectionPart sectionPart) {
        sections.put(sectionPart.section().name(), sectionPart.section());
        sectionRevisions.put(sectionPart.section().name(), sectionPart.revision());
      }
    }
    through = Math.max(through, configurationPart.get().through());
    current = Configuration.merge(revision, sections.values());
  }

  private static Optional<SnapshotPart.ConfigurationPart> findConfigurationPart(
      List<SnapshotPart> parts) {
    return parts.stream()
        .filter(SnapshotPart.ConfigurationPart.class::isInstance)
        .map(SnapshotPart.ConfigurationPart.class::cast)
        .findFirst();
  }

  // Accessors

  /** Returns the configuration in force. */
  public Configuration current() {
    return current;
  }

  /** Returns the sections in force, by name. */
  public Map<String, Section> sections() {
    return Collections.unmodifiableMap(sections);
  }

  /** Returns the revision at which a section last changed, or {@link Revision#NONE}. */
  public Revision sectionRevision(String name) {
    return sectionRevisions.getOrDefault(name, Revision.NONE);
  }

  /** Returns the offset up to which changes were applied. */
  public long through() {
    return through;
  }
}
