package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The records that this node has appended and not yet read back, in the order of their appending.
 *
 * <p>A record stays pending until it is read back. Until it is known to be in the log, it is
 * appended again under the same identifier, so that readers apply it only once.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class PendingRecords {

  /** Factor by which the retry interval is longer while the last append has no answer. */
  private static final int UNANSWERED_RETRY_FACTOR = 4;

  /**
   * A pending record. Mutable.
   *
   * <p>{@code maybeAppended}: an append without a known outcome may have succeeded. {@code
   * replicated}: the record is sent to peers because the log does not return it. {@code inForce}:
   * the succession line has acknowledged it, so that it counts before it is read back.
   */
  private static final class PendingRecord {
    private final long number;
    private final RecordBody body;
    private final Instant firstSentAt;
    private Instant sentAt;
    private boolean answered;
    private boolean appended;
    private boolean maybeAppended;
    private boolean replicated;
    private boolean inForce;

    private PendingRecord(long number, RecordBody body, Instant sentAt) {
      this.number = number;
      this.body = body;
      firstSentAt = sentAt;
      this.sentAt = sentAt;
    }

    private boolean isDecision() {
      return body instanceof RecordBody.LoadDecided
          || body instanceof RecordBody.UnloadDecided
          || body instanceof RecordBody.LoadSettled
          || body instanceof RecordBody.ReplicaClosed;
    }
  }

  private final NodeSettings settings;
  private final Map<RecordId, PendingRecord> records = new LinkedHashMap<>();
  private long sequence;
  private boolean newlyReplicated;

  private PendingRecords(NodeSettings settings) {
    this.settings = settings;
  }

  static PendingRecords create(NodeSettings settings) {
    return new PendingRecords(settings);
  }

  // Updates

  void append(RecordBody body, Step step) {
    sequence++;
    RecordId recordId =
        RecordId.of(settings.node() + "." + settings.incarnation() + ".r" + sequence);
    PendingRecord added = new PendingRecord(sequence, body, step.now());
    boolean mustWait =
        records.values().stream()
            .anyMatch(pendingRecord -> pendingRecord.replicated && !pendingRecord.appended);
    records.put(recordId, added);
    if (mustWait) {
      added.answered = true;
    } else {
      step.emit(new Effect.Append(recordId, body));
    }
  }

  /**
   * Marks all pending decisions for replication if the log is down, if one of them was not read
   * back in time, or if earlier ones are already marked.
   *
   * @return all marked decisions in order
   */
  List<OutageRecord> markForReplication(Instant now, boolean logDown) {
    Duration limit = settings.timings().cells().slowLogAfter();
    boolean overdue =
        logDown
            || hasReplicated()
            || records.values().stream()
                .anyMatch(
                    pendingRecord ->
                        pendingRecord.isDecision()
                            && !now.isBefore(pendingRecord.firstSentAt.plus(limit)));
    List<OutageRecord> outageRecords = new ArrayList<>();
    records.forEach(
        (recordId, pendingRecord) -> {
          if (overdue && pendingRecord.isDecision()) {
            newlyReplicated |= !pendingRecord.replicated;
            pendingRecord.replicated = true;
            outageRecords.add(new OutageRecord(pendingRecord.number, recordId, pendingRecord.body));
          }
        });
    return outageRecords;
  }

  void removeReadBack(RecordId recordId) {
    records.remove(recordId);
  }

  /**
   * Processes the outcome of an append. Removes a claim that was certainly not appended, so that it
   * isn't retried later when it may no longer be due.
   */
  void acceptAppendOutcome(RecordId recordId, AppendOutcome outcome) {
    PendingRecord pendingRecord = records.get(recordId);
    if (pendingRecord == null) {
      return;
    }
    pendingRecord.answered = true;
    switch (outcome) {
      case AppendOutcome.Appended appended -> pendingRecord.appended = true;
      case AppendOutcome.Unknown unknown -> pendingRecord.maybeAppended = true;
      case AppendOutcome.NotAppended refused -> {
        if (pendingRecord.body instanceof RecordBody.ClaimRecorded
            && !pendingRecord.maybeAppended) {
          records.remove(recordId);
        }
      }
    }
  }

  /**
   * Marks a decision as being in force before it is read back.
   *
   * @return whether it was not marked before
   */
  boolean markInForce(RecordId recordId) {
    PendingRecord pendingRecord = records.get(recordId);
    boolean first = pendingRecord != null && !pendingRecord.inForce;
    if (first) {
      pendingRecord.inForce = true;
    }
    return first;
  }

  /**
   * Appends records again for which a retry is due. While decisions are replicated, it appends only
   * the first missing record at a time, since the log must contain them in order.
   */
  void retry(Step step) {
    boolean inOrder = hasReplicated();
    for (Map.Entry<RecordId, PendingRecord> entry : records.entrySet()) {
      PendingRecord pendingRecord = entry.getValue();
      if (pendingRecord.appended) {
        continue;
      }
      if (isDue(pendingRecord, step.now())) {
        pendingRecord.maybeAppended |= !pendingRecord.answered;
        pendingRecord.answered = false;
        pendingRecord.sentAt = step.now();
        step.emit(new Effect.Append(entry.getKey(), pendingRecord.body));
      }
      if (inOrder) {
        return;
      }
    }
  }

  private boolean isDue(PendingRecord pendingRecord, Instant now) {
    Duration interval = settings.timings().appendRetry();
    Duration wait =
        pendingRecord.answered ? interval : interval.multipliedBy(UNANSWERED_RETRY_FACTOR);
    return !now.isBefore(pendingRecord.sentAt.plus(wait));
  }

  /** Withdraws records that match, are certainly not in the log and are not replicated. */
  void withdraw(Predicate<RecordBody> unwanted) {
    records
        .values()
        .removeIf(
            pendingRecord ->
                pendingRecord.answered
                    && !pendingRecord.appended
                    && !pendingRecord.maybeAppended
                    && !pendingRecord.replicated
                    && unwanted.test(pendingRecord.body));
  }

  /** Removes all records; a newer claim or the release of the claim invalidates them. */
  void clear() {
    records.clear();
  }

  // Accessors

  /** Returns the pending records in order. */
  List<RecordBody> bodies() {
    return records.values().stream().map(pendingRecord -> pendingRecord.body).toList();
  }

  /** Returns the load decisions that are not in force yet. */
  List<RecordBody.LoadDecided> pendingLoads() {
    return records.values().stream()
        .filter(
            pendingRecord ->
                !pendingRecord.inForce && pendingRecord.body instanceof RecordBody.LoadDecided)
        .map(pendingRecord -> (RecordBody.LoadDecided) pendingRecord.body)
        .toList();
  }

  boolean anyMatch(Predicate<RecordBody> predicate) {
    return records.values().stream().anyMatch(pendingRecord -> predicate.test(pendingRecord.body));
  }

  /** Returns whether decisions were marked for replication since the last call. */
  boolean pollNewlyReplicated() {
    boolean result = newlyReplicated;
    newlyReplicated = false;
    return result;
  }

  boolean hasReplicated() {
    return records.values().stream().anyMatch(pendingRecord -> pendingRecord.replicated);
  }

  boolean isEmpty() {
    return records.isEmpty();
  }
}
