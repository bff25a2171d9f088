package dev.wisteriarail.core.fleet;

/** Where the weights of a load come from, fastest first. */
public enum LoadSource {
  /** The runner's host memory. */
  MEMORY,
  /** The runner's disk. */
  DISK,
  /** The weight store that all runners share. */
  STORE
}
