package dev.wisteriarail.platform;

import dev.wisteriarail.core.fleet.Handover;
import dev.wisteriarail.core.fleet.LeaseRecord;
import dev.wisteriarail.core.fleet.LoadHistory;
import dev.wisteriarail.core.fleet.NodeAddress;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks records that nodes keep in the platform's store, after their JSON was decoded: another
 * writer may have written them. Stateless.
 */
final class StoredRecords {

  /** Longest pause of orders that a handover can ask for; true ones last a few seconds. */
  private static final long MAX_PAUSE_MILLIS = Duration.ofMinutes(1).toMillis();

  /** Longest time for which a lease or a load counts. */
  private static final long MAX_AGE_MILLIS = Duration.ofDays(365).toMillis();

  private StoredRecords() {}

  /** Returns a node's address if it is complete and connections can be made to it. */
  static NodeAddress checked(NodeAddress address) throws IOException {
    if (address == null || !address.isUsable()) {
      throw new IOException("the address of a node is incomplete or out of range");
    }
    return address;
  }

  /** Returns a refusal if it names requests and an end. */
  static StoredRefusal checked(StoredRefusal refusal) throws IOException {
    boolean complete =
        refusal != null
            && refusal.traits() != null
            && !refusal.traits().isEmpty()
            && refusal.traits().stream().allMatch(trait -> trait != null && !trait.isBlank())
            && refusal.crashes() >= 0
            && refusal.untilMillis() >= 0
            && refusal.termMillis() >= 0;
    if (!complete) {
      throw new IOException("the refusal is incomplete");
    }
    return refusal;
  }

  /**
   * Returns a record of the order lease if it is complete; pauses that it asks for are limited, so
   * that it cannot stop orders for good.
   */
  static LeaseRecord checked(LeaseRecord record) throws IOException {
    boolean complete =
        record != null
            && record.holder() != null
            && record.kind() != null
            && record.fence() >= 0
            && record.era() >= 0
            && record.heldMillis() >= 0
            && record.heldMillis() <= MAX_AGE_MILLIS;
    if (!complete) {
      throw new IOException("the lease record is incomplete");
    }
    if (record.handover().isEmpty()) {
      return record;
    }
    return new LeaseRecord(
        record.holder(),
        record.incarnation(),
        record.kind(),
        record.fence(),
        record.era(),
        record.heldMillis(),
        Optional.of(limited(record.handover().get())));
  }

  private static Handover limited(Handover handover) throws IOException {
    LoadHistory loads = handover.loads();
    boolean complete =
        loads != null
            && loads.underWay().stream()
                .allMatch(
                    load -> load.runner() != null && load.model() != null && load.source() != null);
    if (!complete) {
      throw new IOException("the handover is incomplete");
    }
    Map<String, Long> runnerPauses = new HashMap<>();
    handover
        .runnerQuietMillis()
        .forEach((runner, pause) -> runnerPauses.put(runner, limitedPause(pause)));
    List<LoadHistory.Loading> underWay =
        loads.underWay().stream()
            .map(
                load ->
                    new LoadHistory.Loading(
                        load.runner(),
                        load.model(),
                        load.source(),
                        limitedPause(load.leftMillis())))
            .toList();
    List<Long> ages =
        loads.storeLoadAgesMillis().stream()
            .map(age -> Math.clamp(age, 0, MAX_AGE_MILLIS))
            .toList();
    return new Handover(
        limitedPause(handover.quietMillis()), runnerPauses, new LoadHistory(underWay, ages));
  }

  private static long limitedPause(long millis) {
    return Math.clamp(millis, 0, MAX_PAUSE_MILLIS);
  }
}
