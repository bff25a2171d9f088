package dev.wisteriarail.core.placement;

/** Phase of a placed replica as its controller sees it. */
public enum PlacedPhase {
  /** Decided, and not ready yet. */
  LOADING,
  /** Takes requests. */
  READY,
  /** Decided to be unloaded; its memory is still reserved. */
  UNLOADING
}
