package dev.wisteriarail.core.config;

/** How urgent a kind of request is; queues serve a more urgent class first. */
public enum Urgency {
  /** Somebody waits for the answer. */
  URGENT,
  /** The default class. */
  NORMAL,
  /** The answer may take long but must arrive complete. */
  BATCH
}
