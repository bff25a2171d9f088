package dev.wisteriarail.core.engine;

/** Phase of a replica, as reported by its engine. */
public enum ReplicaPhase {
  /** The weights are being loaded. */
  LOADING,
  /** The replica accepts requests. */
  READY,
  /** The replica finishes its requests and then frees its memory. */
  UNLOADING
}
