/*
 * Ejection permits: bound the number of ejected backend servers of a service
 * over the whole fleet, without a coordinator.
 *
 * A service belongs to a lease group of k seats. A holder of v seats has at
 * most max(0, ceil((E + 1) * v / k) - 1) permits out, which is less than
 * (E + 1) * v / k; since each seat is leased to one holder at a time, the sum
 * over all holders stays below E + 1.
 *
 * A holder counts a seat only after it has held it without a gap for longer
 * than the term of a permit, so that permits granted by a former holder of
 * that seat have expired. The holder keeps a permit counted for the term plus
 * a margin from the grant; the asker uses it for the term less a margin from
 * before it asked.
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
/* Bound on the age of a configuration on a node that is current. */
#define BB_PERMIT_FRESHNESS_US INT64_C(10000000)
/* Time that a node has for a permit after automation is turned on again. */
#define BB_PERMIT_REACQUIRE_US INT64_C(10000000)
/*
 * How long a quorum must have accepted `automation: false` before ejections
 * may outlive their permits: freshness, after which no node asks for new
 * permits, plus the term of those already asked for, plus 2%.
 */
#define BB_PERMIT_FREEZE_WAIT_US INT64_C(20400000)
/*
 * How long a quorum must have accepted `automation: true` before new permits
 * are asked for: freshness plus BB_PERMIT_REACQUIRE_US plus 2%.
 */
#define BB_PERMIT_ENABLE_WAIT_US INT64_C(20400000)

/*
 * How long a node may lose sight of the agreement and still count it from its
 * beginning. Not above BB_PERMIT_REACQUIRE_US: a frozen ejection ends that time after
 * its node was last sure, as if `automation: true` had come in force then.
 */
#define BB_PERMIT_AGREEMENT_GAP_US INT64_C(10000000)

/**
 * bb_permit_max_ejections() - ejections that a service allows at once (E).
 * @c: configuration
 * @service: handle of the service
 *
 * The floor is a share of the published capacity, the sum of slots * weight
 * over all backend servers of the service. Backend servers that are leaving or
 * out count in the total but not as healthy. E is the largest number such that
 * the capacity left is at least the floor even when the E largest backend
 * servers are ejected.
 *
 * Return: E, 0 if the operators' own states already use up the floor.
 */
uint32_t bb_permit_max_ejections(const struct bb_config *c, uint32_t service);

/**
 * bb_permit_share() - permits that a holder may have out.
 * @allowed: E of the service
 * @seats: seats held
 * @committee: seats of the group, at least 1
 */
uint32_t bb_permit_share(uint32_t allowed, uint32_t seats, uint32_t committee);

/**
 * struct bb_permits_options - surroundings of a bb_permits.
 * @incarnation: incarnation of this node
 * @self: index of this host in the configuration's host list
 * @send: hands a message to the transport; not used for messages to @self
 * @seats_held: number of seats of @group whose lease is valid at @now_us and
 *              was held by this incarnation without a gap since @since_us
 * @group: lease group of a service and the size of its committee
 * @holder: host to ask for @group, usually the most likely holder; @attempt
 *          counts refusals and missing replies, so that another may be tried;
 *          BB_NO_ROW when there is none
 * @agreed_us: for how long a quorum is known to have accepted the present
 *             value of `automation`, counted anew after a skipped version or
 *             when it was not known for longer than BB_PERMIT_AGREEMENT_GAP_US; -1 then
 * @agreement_unknown_us: for how long that has not been known, because this node is not
 *             current; 0 if it is known now. NULL for always 0.
 * @leaving: whether the platform takes a host away; its backend servers count
 *           as those whose own state is leaving. NULL for none. After a change
 *           the caller calls bb_permits_set_config() again.
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
 * struct bb_permits - grantor and asker of one node.
 */
struct bb_permits;

/**
 * bb_permits_new() - create grantor and asker.
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
 * bb_permits_set_self() - this host has another index in a new host list.
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
 * Permits out stay counted. When fewer are allowed than before, renewals are
 * refused until the number out is within the new bound.
 */
void bb_permits_set_config(struct bb_permits *p, const struct bb_config *c,
			   int64_t now_us);

/**
 * bb_permits_acquire() - ask for a permit and renew it from now on.
 * @p: object
 * @service: name
 * @backend: name
 * @now_us: clock
 *
 * Nothing new is asked for while automation is off.
 */
void bb_permits_acquire(struct bb_permits *p, const char *service,
			const char *backend, int64_t now_us);

/**
 * bb_permits_release() - give a permit back and stop asking.
 * @p: object
 * @backend: name
 * @now_us: clock
 *
 * The caller must have stopped the ejection before.
 */
void bb_permits_release(struct bb_permits *p, const char *backend,
			int64_t now_us);

/**
 * bb_permits_valid_until() - until when a backend server may be ejected.
 * @p: object
 * @backend: name
 * @now_us: clock
 *
 * While automation is off and the fleet has agreed on it, an ejection that was
 * in force stays valid without renewal, since no node adds one.
 *
 * Return: time on this host's clock; not after @now_us if there is no permit.
 */
int64_t bb_permits_valid_until(const struct bb_permits *p, const char *backend,
			       int64_t now_us);

/**
 * bb_permits_acquire_or_release() - want or release, and bb_permits_valid_until().
 * @permits: struct bb_permits
 * @service: name
 * @backend: name
 * @want: ask and renew, else release
 * @now_us: clock
 *
 * Fits struct bb_health_options @permit_until.
 *
 * Return: as bb_permits_valid_until().
 */
int64_t bb_permits_acquire_or_release(void *permits, const char *service,
				      const char *backend, bool want,
				      int64_t now_us);

/**
 * bb_permits_receive() - handle a PERMIT message.
 * @p: object
 * @from: index of the sending host
 * @m: message of type BB_MESSAGE_PERMIT_REQUEST or BB_MESSAGE_PERMIT_GRANT
 * @now_us: clock
 */
void bb_permits_receive(struct bb_permits *p, uint32_t from,
			const struct bb_message *m, int64_t now_us);

/**
 * bb_permits_tick() - renew, repeat and expire; call every 100 ms or so.
 * @p: object
 * @now_us: clock
 */
void bb_permits_tick(struct bb_permits *p, int64_t now_us);

/**
 * bb_permits_outstanding() - permits of a service that this node has out as grantor.
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
