package permit

// QuotaShardOf returns the shard of an organisation.
func QuotaShardOf(organisation string) int { return quotaShardOf(organisation) }
