package dev.wisteriarail.core.engine;

/** Phase of a replica as its engine reports it. */
public enum ReplicaPhase {
  /** The weights are being read. */
  LOADING,
  /** Takes requests. */
  READY,
  /** Finishes its requests and then frees its memory. */
  UNLOADING
}
