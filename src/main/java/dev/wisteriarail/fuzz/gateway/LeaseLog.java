package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.LeaseRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * The log of the lease on orders as a sound store keeps it: reads, and appends under a condition.
 *
 * <p>Fuzzing and tests put their own losses and delays around it. Not thread-safe.
 */
public final class LeaseLog {

  private final List<LeaseRecord> records = new ArrayList<>();

  private LeaseLog() {}

  /** Returns an empty log. */
  public static LeaseLog create() {
    return new LeaseLog();
  }

  /** Carries out a call at once. */
  public LeaseAnswer call(LeaseCall call) {
    return switch (call) {
      case LeaseCall.Read read -> {
        int from = (int) Math.min(read.from(), records.size());
        yield new LeaseAnswer.Records(
            records.size(), 0, read.from(), records.subList(from, records.size()));
      }
      case LeaseCall.Append append -> {
        if (append.at() != records.size()) {
          yield new LeaseAnswer.Overtaken(records.size());
        }
        records.add(append.record());
        yield new LeaseAnswer.Appended(records.size() - 1);
      }
    };
  }
}
