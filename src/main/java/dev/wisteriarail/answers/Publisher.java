package dev.wisteriarail.answers;

import dev.wisteriarail.core.config.ChangeOutcome;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.SectionProblem;
import dev.wisteriarail.core.config.SectionValidator;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody.ConfigurationChanged;
import dev.wisteriarail.core.result.PlatformException;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.spi.LogService;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Publishes sections by appending them to the log, and reads their outcomes from the log.
 *
 * <p>A section is refused without an append if it has changed since the revision that the operator
 * based the change on. An append whose answer was lost is not sent again, but searched for in the
 * log. Not thread-safe.
 */
public final class Publisher {

  /** Number of reads without new records after which the outcome of a change counts as unknown. */
  private static final int MAX_IDLE_READS = 20;

  private final LogService log;
  private final LogReader reader;
  private final String author;
  private final String reason;
  private final Supplier<String> recordSuffix;

  private Publisher(
      LogService log,
      LogReader reader,
      String author,
      String reason,
      Supplier<String> recordSuffix) {
    this.log = log;
    this.reader = reader;
    this.author = author;
    this.reason = reason;
    this.recordSuffix = recordSuffix;
  }

  /**
   * Returns a publisher.
   *
   * @param reader a reader that has read to the end of the log
   * @param author the operator who publishes
   * @param reason reason for the change
   * @param recordSuffix supplies suffixes that make the identifiers of records unique
   */
  public static Publisher create(
      LogService log,
      LogReader reader,
      String author,
      String reason,
      Supplier<String> recordSuffix) {
    return new Publisher(log, reader, author, reason, recordSuffix);
  }

  /**
   * Publishes the sections that differ from those in force, in an order in which each is valid when
   * it is published. Refuses the sections for which no such order exists.
   *
   * @param base the revision that the changes are based on
   * @throws PlatformException if the log fails, or if it is unknown whether it contains a change
   */
  public List<PublishOutcome> publish(List<Section> sections, Revision base)
      throws PlatformException {
    List<PublishOutcome> outcomes = new ArrayList<>();
    List<Section> waiting = new ArrayList<>(changed(sections));
    while (!waiting.isEmpty()) {
      Optional<Section> next = waiting.stream().filter(this::isValidNow).findFirst();
      if (next.isEmpty()) {
        waiting.forEach(section -> outcomes.add(refuseInvalid(section)));
        return outcomes;
      }
      waiting.remove(next.get());
      outcomes.add(publishOne(next.get(), base));
    }
    return outcomes;
  }

  /** Returns the sections that differ from those in force. */
  public List<Section> changed(List<Section> sections) {
    return sections.stream()
        .filter(section -> !section.equals(inForce().get(section.name())))
        .toList();
  }

  private PublishOutcome publishOne(Section section, Revision base) throws PlatformException {
    Revision current = reader.configurationState().sectionRevision(section.name());
    if (current.compareTo(base) > 0) {
      return new PublishOutcome.Refused(
          section.name(),
          ResultCode.REVISION_CONFLICT,
          "it changed at revision " + current + ", after revision " + base);
    }
    RecordId id = RecordId.of("answers." + section.name() + "." + recordSuffix.get());
    AppendOutcome appended =
        log.append(id, author, new ConfigurationChanged(current, section, author, reason));
    if (appended instanceof AppendOutcome.NotAppended failed) {
      throw new PlatformException(
          ResultCode.LOG_APPEND_FAILED, "section " + section.name(), failed.reason());
    }
    return awaitOutcome(section, id);
  }

  private PublishOutcome awaitOutcome(Section section, RecordId id) throws PlatformException {
    Optional<LogReader.Change> found = reader.await(id, MAX_IDLE_READS);
    if (found.isEmpty()) {
      throw new PlatformException(
          ResultCode.PUBLISH_UNKNOWN,
          "section " + section.name(),
          "record " + id + " is not in the log so far; see answers history");
    }
    return switch (found.get().outcome()) {
      case ChangeOutcome.Accepted accepted ->
          new PublishOutcome.Published(section.name(), accepted.revision());
      case ChangeOutcome.Rejected rejected ->
          new PublishOutcome.Refused(section.name(), rejected.code(), rejected.reason());
      case ChangeOutcome.CoveredBySnapshot covered ->
          new PublishOutcome.Refused(
              section.name(), ResultCode.PUBLISH_UNKNOWN, "a snapshot covers it");
    };
  }

  private boolean isValidNow(Section section) {
    return SectionValidator.check(inForce(), section).isEmpty();
  }

  private PublishOutcome refuseInvalid(Section section) {
    SectionProblem problem = SectionValidator.check(inForce(), section).getFirst();
    return new PublishOutcome.Refused(section.name(), problem.code(), problem.describe());
  }

  private Map<String, Section> inForce() {
    return reader.configurationState().sections();
  }
}
