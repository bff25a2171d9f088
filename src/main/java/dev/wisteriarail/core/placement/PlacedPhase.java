package dev.wisteriarail.core.placement;

/** Phase of a placed replica as its controller sees it. */
public enum PlacedPhase {
  /** The load is decided, but the replica is not ready yet. */
  LOADING,
  /** The replica accepts requests. */
  READY,
  /** The unload is decided; the memory is still reserved. */
  UNLOADING
}
