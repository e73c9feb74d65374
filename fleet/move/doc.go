// Package move decides how many instances each pool should have and which instances move between pools.
package move
