package dev.wisteriarail.audit;

import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.log.RecordBody.IntentChange;

/** Describes the log records of requests that may not be retried. Stateless. */
final class IntentDescriptions {

  private IntentDescriptions() {}

  static String describe(IntentChange change) {
    String subject =
        "request "
            + change.request()
            + " of customer "
            + change.customer()
            + " under key "
            + change.key();
    return switch (change) {
      case RecordBody.IntentRecorded intent ->
          "node "
              + intent.owner()
              + " (incarnation "
              + intent.incarnation()
              + ") is about to run "
              + subject
              + "; the first record of the key wins";
      case RecordBody.IntentFinished finished ->
          subject
              + " was answered with status "
              + finished.status()
              + "; a retry gets the same answer";
      case RecordBody.IntentUnresolved unresolved ->
          subject + " ended as " + unresolved.execution() + ": " + unresolved.reason();
      case RecordBody.IntentReleased released -> subject + " did not run; its key is free again";
    };
  }
}
