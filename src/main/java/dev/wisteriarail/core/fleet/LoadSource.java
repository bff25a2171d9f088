package dev.wisteriarail.core.fleet;

/** Source from which the weights of a model are loaded, fastest first. */
public enum LoadSource {
  /** The runner's host memory. */
  MEMORY,
  /** The runner's disk. */
  DISK,
  /** The weight store that all runners share. */
  STORE
}
