package dev.wisteriarail.core.config;

/** Urgency class of a request, most urgent first; queues serve a more urgent class first. */
public enum Urgency {
  /** Interactive requests: a user is waiting for the answer. */
  URGENT,
  /** The default class. */
  NORMAL,
  /** Batch requests: the answer may take long but must be complete. */
  BATCH
}
