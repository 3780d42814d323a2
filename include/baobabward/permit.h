/*
 * Ejection permits: bound the number of ejected backend servers of a service
 * over the whole fleet, without a coordinator.
 *
 * A service belongs to a lease group (lease.h) with a committee of k seats. A
 * node that holds v of these seats (a holder) has at most
 * max(0, ceil((E + 1) * v / k) - 1) permits outstanding, where E is
 * bb_permit_max_ejections(). That is less than (E + 1) * v / k; since each seat
 * is leased to one holder at a time, the sum over all holders stays below E +
 * 1.
 *
 * A holder counts a seat only after it has held it without a gap for longer
 * than the term of a permit, so that permits granted by a former holder of
 * that seat have expired. The holder counts a permit as outstanding for the
 * term plus a margin for clock drift, starting with the grant; the requester
 * uses it for the term less a margin, starting before its request.
 *
 * "Automation" is the setting of the configuration that allows ejections. While
 * it is off and a quorum has accepted that, an ejection in force is frozen: it
 * stays in force although its permit expires.
 */
#ifndef BAOBABWARD_PERMIT_H
#define BAOBABWARD_PERMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/config.h"
#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Term of a permit. */
#define BB_PERMIT_TERM_US INT64_C(10000000)
/* How long a seat must have been held before it counts: term + 2% drift. */
#define BB_PERMIT_SEAT_WAIT_US INT64_C(10200000)
/* Upper bound of the configuration's age on a current node, see member.h. */
#define BB_PERMIT_FRESHNESS_US INT64_C(10000000)
/*
 * Time for which a frozen ejection stays in force after automation is turned on
 * again, so that its node can get a permit for it.
 */
#define BB_PERMIT_REACQUIRE_US INT64_C(10000000)
/*
 * How long a quorum must have accepted `automation: false` before ejections may
 * stay in force without a permit: BB_PERMIT_FRESHNESS_US, after which no node
 * requests new permits, plus the term of those already requested, plus 2%.
 */
#define BB_PERMIT_FREEZE_WAIT_US INT64_C(20400000)
/*
 * How long a quorum must have accepted `automation: true` before new permits
 * are requested: BB_PERMIT_FRESHNESS_US plus BB_PERMIT_REACQUIRE_US plus 2%.
 */
#define BB_PERMIT_ENABLE_WAIT_US INT64_C(20400000)

/*
 * Longest time for which a node may not know whether the quorum still accepts
 * the value of `automation` and yet counts the agreement from its beginning.
 * Not above BB_PERMIT_REACQUIRE_US: a frozen ejection ends that time after its
 * node last knew of the agreement, as if `automation: true` had come in force
 * at that moment.
 */
#define BB_PERMIT_AGREEMENT_GAP_US INT64_C(10000000)

/**
 * bb_permit_max_ejections() - number of simultaneous ejections that the floor
 * of a service allows (E).
 * @c: configuration
 * @service: handle of the service
 *
 * The floor is a share of the published capacity, the sum of slots * weight
 * over all backend servers of the service. Backend servers in the state leaving
 * or out count in the total but not in the remaining capacity. E is the largest
 * number such that the remaining capacity is at least the floor even when the E
 * largest backend servers are ejected.
 *
 * Return: E; 0 if the states set by operators leave no room above the floor.
 */
uint32_t bb_permit_max_ejections(const struct bb_config *c, uint32_t service);

/**
 * bb_permit_share() - number of permits that a holder may have outstanding.
 * @allowed: E of the service, see bb_permit_max_ejections()
 * @seats: number of seats that it holds
 * @committee: number of seats of the group, at least 1
 */
uint32_t bb_permit_share(uint32_t allowed, uint32_t seats, uint32_t committee);

/**
 * struct bb_permits_options - identity and callbacks of a bb_permits.
 * @incarnation: incarnation of this node
 * @self: index of this host in the configuration's host list
 * @send: hands a message to the transport; not used for messages to @self
 * @seats_held: number of seats of @group whose lease is valid at @now_us and
 *              was held by this incarnation without a gap since @since_us
 * @group: returns the lease group of a service and the size of its committee
 * @holder: returns the host to request permits of @group from, usually the most
 *          likely holder, or BB_NO_ROW if there is none; @attempt counts
 *          refusals and missing replies, so that another host can be tried
 * @agreed_us: for how long a quorum is known to have accepted the present
 *             value of `automation`; -1 if unknown. The count starts again
 *             after a skipped version, or after it was not known for longer
 *             than BB_PERMIT_AGREEMENT_GAP_US.
 * @agreement_unknown_us: for how long it has not been known whether the quorum
 *                        accepts that value, because this node is not current;
 *                        0 if it is known now. NULL for always 0.
 * @leaving: whether the platform is removing a host; its backend servers count
 *           like those whose configured state is leaving. NULL if no host ever
 *           is. After a change the caller calls bb_permits_set_config() again.
 * @data: passed to the callbacks
 */
struct bb_permits_options {
	uint64_t incarnation;
	uint32_t self;
	bb_send_fn *send;
	uint32_t (*seats_held)(void *data, uint32_t group, int64_t since_us,
			       int64_t now_us);
	uint32_t (*group)(void *data, const char *service, uint32_t *committee);
	uint32_t (*holder)(void *data, uint32_t group, unsigned int attempt);
	int64_t (*agreed_us)(void *data, int64_t now_us);
	int64_t (*agreement_unknown_us)(void *data, int64_t now_us);
	bool (*leaving)(void *data, uint32_t host);
	void *data;
};

/**
 * struct bb_permits - permits that one node grants, and those that it requests.
 */
struct bb_permits;

/**
 * bb_permits_new() - create without permits.
 * @options: copied
 *
 * Return: object for bb_permits_delete(); never NULL.
 */
struct bb_permits *bb_permits_new(const struct bb_permits_options *options);

/**
 * bb_permits_delete() - free.
 * @p: object, may be NULL
 */
void bb_permits_delete(struct bb_permits *p);

/**
 * bb_permits_set_self() - set the index of this host in a new host list.
 * @p: object
 * @self: the index, or BB_NO_ROW if it is not listed any more
 */
void bb_permits_set_self(struct bb_permits *p, uint32_t self);

/**
 * bb_permits_set_config() - use another configuration.
 * @p: object
 * @c: configuration, used during the call only
 * @now_us: clock
 *
 * Outstanding permits stay counted. When fewer ejections are allowed than
 * before, renewals are refused until the outstanding permits are within the new
 * bound.
 */
void bb_permits_set_config(struct bb_permits *p, const struct bb_config *c,
			   int64_t now_us);

/**
 * bb_permits_acquire() - request a permit and renew it until its release.
 * @p: object
 * @service: name
 * @backend: name
 * @now_us: clock
 *
 * While automation is off, no request for a new permit is sent.
 */
void bb_permits_acquire(struct bb_permits *p, const char *service,
			const char *backend, int64_t now_us);

/**
 * bb_permits_release() - return a permit and stop requesting it.
 * @p: object
 * @backend: name
 * @now_us: clock
 *
 * The caller must have ended the ejection before.
 */
void bb_permits_release(struct bb_permits *p, const char *backend,
			int64_t now_us);

/**
 * bb_permits_valid_until() - until when a backend server may be ejected.
 * @p: object
 * @backend: name
 * @now_us: clock
 *
 * While automation is off and the fleet has agreed on that, an ejection that
 * was in force stays valid without renewal, since no node starts a new one.
 *
 * Return: time on this host's clock; not after @now_us if there is no permit.
 */
int64_t bb_permits_valid_until(const struct bb_permits *p, const char *backend,
			       int64_t now_us);

/**
 * bb_permits_acquire_or_release() - bb_permits_acquire() or
 * bb_permits_release(), then bb_permits_valid_until().
 * @permits: struct bb_permits
 * @service: name
 * @backend: name
 * @want: acquire if true, else release
 * @now_us: clock
 *
 * Has the type of struct bb_health_options @permit_until.
 *
 * Return: as bb_permits_valid_until().
 */
int64_t bb_permits_acquire_or_release(void *permits, const char *service,
				      const char *backend, bool want,
				      int64_t now_us);

/**
 * bb_permits_receive() - handle a permit request or grant of another node.
 * @p: object
 * @from: index of the sending host
 * @m: message of type BB_MESSAGE_PERMIT_REQUEST or BB_MESSAGE_PERMIT_GRANT
 * @now_us: clock
 */
void bb_permits_receive(struct bb_permits *p, uint32_t from,
			const struct bb_message *m, int64_t now_us);

/**
 * bb_permits_tick() - renew permits, repeat requests and note expiry; call
 * about every 100 ms.
 * @p: object
 * @now_us: clock
 */
void bb_permits_tick(struct bb_permits *p, int64_t now_us);

/**
 * bb_permits_outstanding() - number of unexpired permits of a service that this
 * node has granted.
 * @p: object
 * @service: name
 * @now_us: clock
 */
uint32_t bb_permits_outstanding(const struct bb_permits *p, const char *service,
				int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
