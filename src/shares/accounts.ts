/** What organisations have received, in this service and in the others. */

/** Account of one organisation. Amounts are in thousandths of a core times ms. */
export interface Account {
  /** Service given by this owner. Includes the expected service of tasks that still run. */
  own: number
  /** Service given by the other services, as far as their owners have reported it. */
  others: number
  /** Sum of both, each divided by the weight at the time when it was recorded. */
  virtual: number
}

/** The accounts of all organisations that have received anything. */
export interface Accounts {
  readonly byOrganisation: ReadonlyMap<string, Account>
  /** Returns the account of an organisation; creates it if necessary. */
  of(organisation: string): Account
  /** Adds service given by this owner; a negative amount corrects an estimate. */
  addOwn(organisation: string, amount: number): void
  /** Adds service given by the other services. */
  addOthers(organisation: string, amount: number): void
}

/** Creates empty accounts. */
export function createAccounts(weightOf: (organisation: string) => number): Accounts {
  const byOrganisation = new Map<string, Account>()

  function of(organisation: string): Account {
    const known = byOrganisation.get(organisation)
    if (known) return known
    const account: Account = { own: 0, others: 0, virtual: 0 }
    byOrganisation.set(organisation, account)
    return account
  }

  return {
    byOrganisation,
    of,
    addOwn(organisation, amount) {
      const account = of(organisation)
      account.own += amount
      account.virtual += amount / weightOf(organisation)
    },
    addOthers(organisation, amount) {
      const account = of(organisation)
      account.others += amount
      account.virtual += amount / weightOf(organisation)
    },
  }
}
