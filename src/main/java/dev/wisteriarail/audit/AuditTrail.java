package dev.wisteriarail.audit;

import dev.wisteriarail.answers.LogReader;
import dev.wisteriarail.core.cell.CellState;
import dev.wisteriarail.core.cell.Reservation;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.result.PlatformException;
import dev.wisteriarail.spi.LogService;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the log from its oldest record on and describes the effect of each record.
 *
 * <p>Nothing is stored besides the log: a record is described together with the replicated state
 * before it, which is the same for every reader and contains the figures on which a decision was
 * made. The trail reaches back as far as the log keeps records. Life cycle: {@link #read}, then
 * queries. Not thread-safe.
 */
public final class AuditTrail {

  private static final long MEBIBYTE = 1L << 20;

  private final LogReader reader;
  private final List<AuditEntry> entries = new ArrayList<>();

  private AuditTrail(LogService log, CellId cell) {
    reader = LogReader.create(log, cell, this::addEntriesFor);
  }

  /**
   * Reads the whole log.
   *
   * @throws PlatformException if the log cannot be read
   */
  public static AuditTrail read(LogService log, CellId cell) throws PlatformException {
    AuditTrail trail = new AuditTrail(log, cell);
    trail.reader.readToEnd();
    return trail;
  }

  // Sentences

  private void addEntriesFor(LogRecord logged) {
    sentences(logged).forEach(text -> entries.add(new AuditEntry(logged, text)));
  }

  private List<String> sentences(LogRecord logged) {
    return switch (logged.body()) {
      case RecordBody.ConfigurationChanged change -> List.of(describeChange(change));
      case RecordBody.ClaimRecorded claim -> List.of(describeClaim(claim, logged.offset()));
      case RecordBody.LoadDecided load -> List.of(describeLoad(load));
      case RecordBody.UnloadDecided unload -> List.of(describeUnload(unload));
      case RecordBody.ReplicaClosed closed -> List.of(describeClosed(closed));
      case RecordBody.SnapshotChunk chunk -> List.of();
      case RecordBody.IntentChange change -> List.of(IntentDescriptions.describe(change));
      case RecordBody.IntentBatch batch ->
          batch.changes().stream().map(IntentDescriptions::describe).toList();
      default -> List.of(logged.writer() + " recorded " + logged.body());
    };
  }

  private String describeChange(RecordBody.ConfigurationChanged change) {
    String section = change.section().name();
    String basis = "section " + section + ", based on revision " + change.basedOn();
    String at = "it stood at revision " + reader.configurationState().sectionRevision(section);
    return change.author() + " published " + basis + " (" + at + "): " + change.reason();
  }

  private String describeClaim(RecordBody.ClaimRecorded claim, long offset) {
    String subject =
        claim.holder() + " (incarnation " + claim.incarnation() + ") claimed cell " + claim.cell();
    boolean valid = claim.previous().equals(cellState().fence());
    String previous =
        cellState()
            .claim()
            .map(held -> held.holder() + " held it under fencing number " + held.fence())
            .orElse("nobody held it");
    return valid
        ? subject + "; " + previous + "; the fencing number is now " + offset
        : subject + "; rejected: it named fencing number " + claim.previous() + ", but " + previous;
  }

  private String describeLoad(RecordBody.LoadDecided load) {
    String action =
        "load "
            + load.model()
            + " "
            + load.version()
            + " as "
            + load.replica()
            + " on "
            + load.runner();
    return decision(action, load.fence().equals(cellState().fence()))
        + ": it reserves "
        + mebibytes(load.bytes())
        + "; "
        + memory(load.runner())
        + "; "
        + replicas(load.model());
  }

  private String describeUnload(RecordBody.UnloadDecided unload) {
    String held =
        cellState()
            .reservation(unload.replica())
            .map(AuditTrail::describe)
            .orElse("no such replica was reserved");
    return decision("unload " + unload.replica(), unload.fence().equals(cellState().fence()))
        + ": "
        + held;
  }

  private String describeClosed(RecordBody.ReplicaClosed closed) {
    String freed =
        cellState()
            .reservation(closed.replica())
            .map(held -> "frees " + mebibytes(held.bytes()) + " on " + held.runner())
            .orElse("frees nothing");
    return decision("close " + closed.replica(), closed.fence().equals(cellState().fence()))
        + ", which "
        + freed
        + ": "
        + closed.reason();
  }

  private String decision(String action, boolean valid) {
    String holder = cellState().claim().map(claim -> claim.holder().value()).orElse("nobody");
    return valid
        ? holder + " decided to " + action
        : "a void decision to "
            + action
            + " (its fencing number is not "
            + cellState().fence()
            + ", that of "
            + holder
            + ")";
  }

  private String memory(RunnerId id) {
    long reserved = reserved(id);
    RunnerSpec runner = configuration().runners().get(id);
    return runner == null
        ? "runner " + id + " is not configured"
        : mebibytes(reserved)
            + " of "
            + mebibytes(runner.memoryBytes())
            + " on "
            + id
            + " were reserved before";
  }

  private String replicas(ModelId id) {
    long before =
        cellState().reservations().stream().filter(held -> held.model().equals(id)).count();
    ModelSpec model = configuration().models().get(id);
    return model == null
        ? "the model is not configured"
        : before + " of at most " + model.maxReplicas() + " replicas were decided before";
  }

  // Explanations

  /** Explains a model: its limits, its replicas, and all records about it. */
  public List<String> explainModel(ModelId id) {
    List<String> lines = new ArrayList<>();
    ModelSpec model = configuration().models().get(id);
    if (model == null) {
      lines.add("Model " + id + " is in no section in force.");
    } else {
      lines.add(
          "Model "
              + id
              + " "
              + model.version()
              + " belongs to customer "
              + model.customer()
              + ", takes "
              + mebibytes(model.memoryBytes())
              + " with its adapters and may have "
              + model.maxReplicas()
              + " replicas.");
    }
    List<Reservation> held =
        cellState().reservations().stream()
            .filter(reservation -> reservation.model().equals(id))
            .toList();
    lines.add(held.size() + " replicas are decided now.");
    held.forEach(reservation -> lines.add("  " + describe(reservation)));
    addEntries(lines, id.value());
    return lines;
  }

  /** Explains a runner: its memory, the reservations on it, and all records about it. */
  public List<String> explainRunner(RunnerId id) {
    List<String> lines = new ArrayList<>();
    RunnerSpec runner = configuration().runners().get(id);
    if (runner == null) {
      lines.add("Runner " + id + " is in no section in force.");
    } else {
      String fencing = runner.checksFencing() ? "checks" : "does not check";
      lines.add(
          "Runner "
              + id
              + " in "
              + runner.failureDomain()
              + " "
              + fencing
              + " fencing numbers; "
              + mebibytes(reserved(id))
              + " of "
              + mebibytes(runner.memoryBytes())
              + " are reserved.");
    }
    cellState().reservations().stream()
        .filter(held -> held.runner().equals(id))
        .forEach(held -> lines.add("  " + describe(held)));
    addEntries(lines, id.value());
    return lines;
  }

  /** Explains a decision, identified by its replica, its record or its offset. */
  public List<String> explainDecision(String name) {
    List<String> lines = new ArrayList<>();
    entries.stream()
        .filter(entry -> isNamed(entry, name))
        .forEach(entry -> lines.add(entry.describe()));
    if (lines.isEmpty()) {
      lines.add("The log keeps no record named " + name + "; older ones were dropped.");
    }
    return lines;
  }

  /** Explains a request from the log, which records only requests that may not be retried. */
  public List<String> explainRequest(String id) {
    List<String> lines = new ArrayList<>();
    addEntries(lines, id);
    if (lines.isEmpty()) {
      lines.add(
          "The log keeps nothing of request "
              + id
              + ": only requests that may not be retried"
              + " are recorded. See the event log of the node that handled it (--events).");
    }
    return lines;
  }

  private static boolean isNamed(AuditEntry entry, String name) {
    return name.equals(Long.toString(entry.logged().offset())) || entry.mentions(name);
  }

  private void addEntries(List<String> lines, String name) {
    entries.stream()
        .filter(entry -> entry.mentions(name))
        .forEach(entry -> lines.add(entry.describe()));
  }

  // Helpers

  private long reserved(RunnerId id) {
    return cellState().reservations().stream()
        .filter(held -> held.runner().equals(id))
        .mapToLong(Reservation::bytes)
        .sum();
  }

  private static String describe(Reservation held) {
    return "replica "
        + held.replica()
        + " of "
        + held.model()
        + " "
        + held.version()
        + " holds "
        + mebibytes(held.bytes())
        + " on "
        + held.runner()
        + (held.unloading() ? " and is to be unloaded" : "");
  }

  private static String mebibytes(long bytes) {
    return bytes / MEBIBYTE + " MiB";
  }

  // Accessors

  /** Returns the entries in the order of the log. */
  public List<AuditEntry> entries() {
    return List.copyOf(entries);
  }

  private CellState cellState() {
    return reader.cellState();
  }

  private Configuration configuration() {
    return reader.configurationState().current();
  }
}
