/*
 * Local reserve of the client accounts at one entry node, spent while the
 * holder of an account's lease group (lease.h) cannot be reached from it.
 *
 * It covers network partitions in which the holder still serves other hosts.
 * Without a reserve, all requests of the accounts that it holds are refused at
 * the hosts that are cut off from it.
 *
 * Each node may spend a fixed part of an account's rate without drawing tokens.
 * The parts of all nodes add up to BB_RESERVE_PERCENT of the rate. While a
 * share f of the nodes is cut off, the fleet spends at most 1 + f *
 * BB_RESERVE_PERCENT / 100 times the rate; if the holder failed, less than the
 * rate.
 *
 * No I/O and no clock of its own: times are microseconds of the caller's
 * monotonic clock. For one thread only.
 */
#ifndef BAOBABWARD_RESERVE_H
#define BAOBABWARD_RESERVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Part of an account's rate that the reserves of all nodes add up to. */
#define BB_RESERVE_PERCENT 50

struct bb_reserve;

struct bb_reserve *bb_reserve_new(void);
void bb_reserve_delete(struct bb_reserve *r);

/**
 * bb_reserve_spend() - spend one token of an account's reserve.
 * @r: the reserve
 * @a: client account
 * @hosts: number of hosts of the fleet, at least 1
 * @now_us: current time
 *
 * Return: false if no token is available.
 */
bool bb_reserve_spend(struct bb_reserve *r, const struct bb_account *a,
		      size_t hosts, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
